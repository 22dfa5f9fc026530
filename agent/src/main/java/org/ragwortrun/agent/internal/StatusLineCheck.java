package org.ragwortrun.agent.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.ragwortrun.net.http.StatusLines;

/**
 * Checks the status lines of the answer that arrives on one connection, including its interim responses.
 *
 * <p>The parser of HttpCore accepts any number as a status, also with a sign or other than three digits, and would report
 * some of them as a success. Bytes are checked as they arrive, before they are parsed.
 */
final class StatusLineCheck {
    private static final int MAX_LINE_CHARS = 16 << 10;
    private static final int CODE_INDEX = 9;

    private final StringBuilder line = new StringBuilder();
    private boolean inHeaders;
    private boolean interim;
    private boolean done;

    /**
     * Checks bytes that have been read.
     *
     * @param bytes a buffer whose bytes from {@code start} to its position are new
     * @throws IOException if a status line is not valid
     */
    void onRead(ByteBuffer bytes, int start) throws IOException {
        for (int i = start; i < bytes.position() && !done; i++) {
            char c = (char) (bytes.get(i) & 0xff);
            if (c == '\n') {
                onLine();
            } else if (line.length() < MAX_LINE_CHARS) {
                line.append(c);
            }
        }
    }

    private void onLine() throws IOException {
        int end = line.length();
        String text = end > 0 && line.charAt(end - 1) == '\r' ? line.substring(0, end - 1) : line.toString();
        line.setLength(0);
        if (!inHeaders) {
            // The parser skips empty lines before a status line.
            if (text.isEmpty()) {
                return;
            }
            if (!StatusLines.isWellFormed(text)) {
                throw new IOException("the answer has no valid status line");
            }
            inHeaders = true;
            interim = text.charAt(CODE_INDEX) == '1';
        } else if (text.isEmpty()) {
            inHeaders = false;
            done = !interim;
        }
    }
}
