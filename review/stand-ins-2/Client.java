import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends requests of a client and reads their answers. */
final class Client {
    /** What a client saw: a status, or 0 if the connection ended without a complete answer. */
    record Outcome(int status, String body, String signature, String end, double sent, double ended) {
        boolean served() {
            return status >= 200 && status < 300 && !signature.isEmpty();
        }
    }

    private Client() {}

    static String head(String method, String path, String host, String id, String more, int length) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id + "\r\n" + more
                + (length >= 0 ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
    }

    /** Sends one request on a connection of its own. */
    static Outcome send(Fleet fleet, String ip, String method, String path, String id, String more, byte[] body, int ms) {
        double sent = fleet.now();
        try (Socket s = Net.connect(ip, fleet.frontendPort, 1_000, ms)) {
            Net.write(
                    s.getOutputStream(),
                    head(method, path, "shop.example", id, more, body.length == 0 && method.equals("GET") ? -1 : body.length),
                    body);
            Net.Message m = Net.readHead(s.getInputStream());
            if (m == null) {
                return new Outcome(0, "", "", "closed", sent, fleet.now());
            }
            Net.readBody(s.getInputStream(), m, true);
            return new Outcome(
                    m.status(), m.text(), m.header("X-Server-Signature"), "complete", sent, fleet.now());
        } catch (ConnectException e) {
            return new Outcome(0, "", "", "no connection", sent, fleet.now());
        } catch (IOException e) {
            return new Outcome(0, "", "", "broken: " + e.getMessage(), sent, fleet.now());
        }
    }
}
