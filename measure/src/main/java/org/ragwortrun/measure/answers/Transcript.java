package org.ragwortrun.measure.answers;

import java.io.ByteArrayOutputStream;

/** The bytes that an endpoint wrote to one connection. */
final class Transcript {
    private final ByteArrayOutputStream sent = new ByteArrayOutputStream();
    private boolean clean;

    synchronized void add(byte[] bytes) {
        sent.writeBytes(bytes);
    }

    synchronized void endCleanly() {
        clean = true;
    }

    /** Returns whether the endpoint ended the connection without a reset. */
    synchronized boolean endedCleanly() {
        return clean;
    }

    synchronized int length() {
        return sent.size();
    }

    synchronized byte[] bytes() {
        return sent.toByteArray();
    }
}
