package org.ragwortrun.router.internal.flow;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Decodes UTF-8 text in parts, holding back the bytes of an incomplete character at the end of a part. */
final class IncrementalUtf8Decoder {
    private static final int CONTINUATION_MASK = 0xC0;
    private static final int CONTINUATION = 0x80;
    private static final int MAX_CHARACTER_BYTES = 4;

    private byte[] incomplete = new byte[0];

    /** Returns the complete characters of the held-back bytes followed by the part. */
    String decode(byte[] part) {
        byte[] all = part;
        if (incomplete.length > 0) {
            ByteArrayOutputStream joined = new ByteArrayOutputStream(incomplete.length + part.length);
            joined.writeBytes(incomplete);
            joined.writeBytes(part);
            all = joined.toByteArray();
        }
        int end = completeLength(all);
        incomplete = end == all.length ? new byte[0] : Arrays.copyOfRange(all, end, all.length);
        return new String(all, 0, end, StandardCharsets.UTF_8);
    }

    private static int completeLength(byte[] bytes) {
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
