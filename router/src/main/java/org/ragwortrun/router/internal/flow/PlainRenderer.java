package org.ragwortrun.router.internal.flow;

/** Passes an answer through unchanged. */
public final class PlainRenderer implements AnswerRenderer {
    private static final byte[] NOTHING = new byte[0];

    @Override
    public byte[] head() {
        return NOTHING;
    }

    @Override
    public byte[] part(byte[] data) {
        return data;
    }

    @Override
    public byte[] tail(AnswerSummary summary) {
        return NOTHING;
    }
}
