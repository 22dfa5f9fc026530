import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Minimal HTTP/1.1 over sockets, for the stand-ins of these cases. */
final class Net {
    private Net() {}

    /** A request or an answer: its first line, its headers in lower case, and its body. */
    static final class Message {
        String first = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = {};

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static Socket connect(String host, int port, int connectMs, int readMs) throws IOException {
        Socket s = new Socket();
        s.setTcpNoDelay(true);
        s.connect(new InetSocketAddress(InetAddress.getByName(host), port), connectMs);
        s.setSoTimeout(readMs);
        return s;
    }

    static ServerSocket listen(String host, int port) throws IOException {
        ServerSocket s = new ServerSocket();
        s.setReuseAddress(true);
        s.bind(new InetSocketAddress(InetAddress.getByName(host), port), 512);
        return s;
    }

    /** Reads a head; returns null if the connection ended before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int state = 0;
        while (state < 4) {
            int c = in.read();
            if (c < 0) {
                if (head.size() == 0) {
                    return null;
                }
                throw new IOException("ended within a head");
            }
            head.write(c);
            state = c == (state % 2 == 0 ? '\r' : '\n') ? state + 1 : c == '\r' ? 1 : 0;
        }
        String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Message m = new Message();
        m.first = lines[0];
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            m.headers.put(
                    lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).trim());
        }
        return m;
    }

    /** Reads the body of a request, or of an answer that is not to HEAD. Fails if it is cut short. */
    static void readBody(InputStream in, Message m, boolean answer) throws IOException {
        if (m.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int length = Integer.parseInt(line(in).split(";")[0].trim(), 16);
                if (length == 0) {
                    while (!line(in).isEmpty()) {
                        // trailers
                    }
                    break;
                }
                body.write(exactly(in, length));
                line(in);
            }
            m.body = body.toByteArray();
        } else if (!m.header("content-length").isEmpty()) {
            m.body = exactly(in, Integer.parseInt(m.header("content-length")));
        } else if (answer) {
            m.body = in.readAllBytes();
        }
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] b = in.readNBytes(length);
        if (b.length < length) {
            throw new IOException("the body is cut short");
        }
        return b;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder s = new StringBuilder();
        int c = in.read();
        while (c != '\n') {
            if (c < 0) {
                throw new IOException("the body is cut short");
            }
            if (c != '\r') {
                s.append((char) c);
            }
            c = in.read();
        }
        return s.toString();
    }

    static void write(OutputStream out, String head, byte[] body) throws IOException {
        byte[] h = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[h.length + body.length];
        System.arraycopy(h, 0, all, 0, h.length);
        System.arraycopy(body, 0, all, h.length, body.length);
        out.write(all);
        out.flush();
    }

    /** Sends one call on a connection of its own and reads the whole answer. */
    static Message call(String host, int port, String method, String path, byte[] body, int timeoutMs)
            throws IOException {
        try (Socket s = connect(host, port, timeoutMs, timeoutMs)) {
            write(
                    s.getOutputStream(),
                    method + " " + path + " HTTP/1.1\r\nHost: " + host + ":" + port
                            + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                            + "\r\nConnection: close\r\n\r\n",
                    body);
            Message m = readHead(s.getInputStream());
            if (m == null) {
                throw new IOException("no answer");
            }
            readBody(s.getInputStream(), m, true);
            return m;
        }
    }
}
