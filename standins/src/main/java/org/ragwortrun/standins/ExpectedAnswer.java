package org.ragwortrun.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The answer that {@link StandinEngine} gives to a prompt.
 *
 * <p>The text depends only on the prompt, so a test can verify a complete answer even if several engines produced parts
 * of it. Each token is a space and a word. The marker {@code [len=N]} in the prompt sets the length in tokens.
 */
public final class ExpectedAnswer {
    private static final Pattern LENGTH = Pattern.compile("\\[len=(\\d{1,7})]");
    private static final int MIN_TOKENS = 16;
    private static final int LENGTH_RANGE = 48;
    private static final long MIX = 0x9E3779B97F4A7C15L;

    private final long seed;
    private final int length;

    private ExpectedAnswer(long seed, int length) {
        this.seed = seed;
        this.length = length;
    }

    /** Returns the answer to a prompt, which is the contents of all messages joined by line feeds. */
    public static ExpectedAnswer to(String prompt) {
        long seed = MIX;
        for (int i = 0; i < prompt.length(); i++) {
            seed = mix(seed ^ prompt.charAt(i));
        }
        Matcher m = LENGTH.matcher(prompt);
        int length =
                m.find() ? Integer.parseInt(m.group(1)) : MIN_TOKENS + (int) Math.floorMod(seed, (long) LENGTH_RANGE);
        return new ExpectedAnswer(seed, length);
    }

    /** Returns the length of the complete answer in tokens. */
    public int length() {
        return length;
    }

    /** Returns the token at an index. */
    public String token(int index) {
        long word = mix(seed + index * MIX) >>> 40;
        return " " + Long.toString(word, Character.MAX_RADIX);
    }

    /** Returns the first tokens of the answer, at most {@code limit}. */
    public List<String> tokens(int limit) {
        List<String> tokens = new ArrayList<>();
        for (int i = 0; i < Math.min(limit, length); i++) {
            tokens.add(token(i));
        }
        return tokens;
    }

    /** Returns the text of the complete answer. */
    public String text() {
        return text(length);
    }

    /** Returns the text of the first tokens of the answer, at most {@code limit}. */
    public String text(int limit) {
        return String.join("", tokens(limit));
    }

    /** Returns the number of prompt tokens that the engine counts for the content of one message. */
    public static int promptTokens(String content) {
        int words = content.isBlank() ? 0 : content.trim().split("\\s+").length;
        return words + 3;
    }

    private static long mix(long x) {
        long y = (x ^ (x >>> 30)) * 0xBF58476D1CE4E5B9L;
        y = (y ^ (y >>> 27)) * 0x94D049BB133111EBL;
        return y ^ (y >>> 31);
    }
}
