package org.ragwortrun.router.internal.flow;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Joins parts of UTF-8 text and holds back a character whose bytes have not all arrived. */
final class TextSplitter {
    private static final int CONTINUATION_MASK = 0xC0;
    private static final int CONTINUATION = 0x80;
    private static final int MAX_CHARACTER_BYTES = 4;

    private byte[] rest = new byte[0];

    /** Returns the whole characters of what was held back and the part. */
    String add(byte[] part) {
        byte[] all = part;
        if (rest.length > 0) {
            ByteArrayOutputStream joined = new ByteArrayOutputStream(rest.length + part.length);
            joined.writeBytes(rest);
            joined.writeBytes(part);
            all = joined.toByteArray();
        }
        int end = wholeCharacters(all);
        rest = end == all.length ? new byte[0] : Arrays.copyOfRange(all, end, all.length);
        return new String(all, 0, end, StandardCharsets.UTF_8);
    }

    private static int wholeCharacters(byte[] bytes) {
        int lead = bytes.length - 1;
        int earliest = Math.max(0, bytes.length - MAX_CHARACTER_BYTES);
        while (lead >= earliest && (bytes[lead] & CONTINUATION_MASK) == CONTINUATION) {
            lead--;
        }
        if (lead < earliest) {
            return bytes.length;
        }
        return lead + length(bytes[lead]) > bytes.length ? lead : bytes.length;
    }

    private static int length(byte lead) {
        int b = lead & 0xFF;
        if (b >= 0xF0) {
            return 4;
        }
        if (b >= 0xE0) {
            return 3;
        }
        return b >= 0xC0 ? 2 : 1;
    }
}
