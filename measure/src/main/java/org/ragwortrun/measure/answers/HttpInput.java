package org.ragwortrun.measure.answers;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads the lines, headers and bodies of messages from a connection. */
final class HttpInput {
    private static final int MOST_LINE_BYTES = 16_384;

    private final InputStream in;

    HttpInput(InputStream in) {
        this.in = in;
    }

    /** Reads a line without its end, which has to be CR and LF. */
    String line() throws IOException {
        StringBuilder line = new StringBuilder();
        while (line.length() < MOST_LINE_BYTES) {
            line.append((char) read());
            if (line.length() >= 2 && line.substring(line.length() - 2).equals("\r\n")) {
                return line.substring(0, line.length() - 2);
            }
        }
        throw new BadAnswerException("a line without end");
    }

    /** Reads header fields up to the empty line, with names in lower case. */
    Map<String, String> headers() throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(); !line.isEmpty(); line = line()) {
            int colon = line.indexOf(':');
            if (colon <= 0) {
                throw new BadAnswerException("a header without a name: " + line);
            }
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return headers;
    }

    String bytes(int length) throws IOException {
        byte[] data = in.readNBytes(length);
        if (data.length < length) {
            throw new EOFException("the connection ended within a body");
        }
        return new String(data, StandardCharsets.ISO_8859_1);
    }

    String rest() throws IOException {
        return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    String chunks() throws IOException {
        StringBuilder body = new StringBuilder();
        while (true) {
            int size;
            try {
                size = Integer.parseInt(line().split(";", 2)[0].trim(), 16);
            } catch (NumberFormatException e) {
                throw new BadAnswerException("not the size of a chunk", e);
            }
            if (size == 0) {
                headers();
                return body.toString();
            }
            body.append(bytes(size));
            if (!line().isEmpty()) {
                throw new BadAnswerException("bytes after a chunk");
            }
        }
    }

    /** Returns whether bytes have arrived that were not read. */
    boolean hasBytes() throws IOException {
        return in.available() > 0;
    }

    private int read() throws IOException {
        int b = in.read();
        if (b < 0) {
            throw new EOFException("the connection ended");
        }
        return b;
    }
}
