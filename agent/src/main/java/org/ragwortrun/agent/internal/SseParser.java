package org.ragwortrun.agent.internal;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Splits a stream of server-sent events into the data of each event. */
final class SseParser {
    private static final byte[] DATA = {'d', 'a', 't', 'a', ':'};

    private final Consumer<byte[]> sink;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final ByteArrayOutputStream data = new ByteArrayOutputStream();
    private boolean hasData;

    SseParser(Consumer<byte[]> sink) {
        this.sink = sink;
    }

    void feed(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            if (b == '\n') {
                endLine();
            } else if (b != '\r') {
                line.write(b);
            }
        }
    }

    private void endLine() {
        byte[] text = line.toByteArray();
        line.reset();
        if (text.length == 0) {
            if (hasData) {
                sink.accept(data.toByteArray());
            }
            data.reset();
            hasData = false;
        } else if (startsWithData(text)) {
            if (hasData) {
                data.write('\n');
            }
            int from = text.length > DATA.length && text[DATA.length] == ' ' ? DATA.length + 1 : DATA.length;
            data.write(text, from, text.length - from);
            hasData = true;
        }
    }

    private static boolean startsWithData(byte[] text) {
        if (text.length < DATA.length) {
            return false;
        }
        for (int i = 0; i < DATA.length; i++) {
            if (text[i] != DATA[i]) {
                return false;
            }
        }
        return true;
    }
}
