import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Passes connections on. While it is cut, it passes nothing on and answers nothing, like a network partition. */
final class Proxy {
    private final InetSocketAddress target;
    private volatile boolean cut;

    Proxy(String host, int port, int targetPort) throws IOException {
        target = new InetSocketAddress(host, targetPort);
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(host, port), 64);
        run(() -> {
            while (true) {
                Socket s = server.accept();
                run(() -> connect(s));
            }
        });
    }

    void cut(boolean value) {
        cut = value;
    }

    private interface Task {
        void run() throws IOException;
    }

    private static void run(Task task) {
        Thread t = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // one side has closed the connection
            }
        });
        t.setDaemon(true);
        t.start();
    }

    private void connect(Socket caller) throws IOException {
        while (cut) {
            Kit.sleep(20);
        }
        Socket called = new Socket();
        called.connect(target, 1_000);
        caller.setTcpNoDelay(true);
        called.setTcpNoDelay(true);
        run(() -> copy(caller, called));
        copy(called, caller);
    }

    private void copy(Socket from, Socket to) throws IOException {
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[64 << 10];
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                while (cut) {
                    Kit.sleep(20);
                }
                out.write(buffer, 0, n);
            }
            while (cut) {
                Kit.sleep(20);
            }
        }
    }
}
