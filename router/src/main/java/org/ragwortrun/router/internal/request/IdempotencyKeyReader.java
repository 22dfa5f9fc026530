package org.ragwortrun.router.internal.request;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.ragwortrun.core.config.Route;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.refusal.RefusedException;
import org.ragwortrun.core.time.Time;

/** Reads Idempotency-Keys and the time that some of them encode. */
public final class IdempotencyKeyReader {
    private static final Pattern UUID_V7_PATTERN =
            Pattern.compile("[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}");
    // Ten digits of Unix seconds cover 2001 to 2286; other numbers are not treated as a time.
    private static final Pattern UNIX_SECONDS_PATTERN = Pattern.compile("([1-9]\\d{9})-.+");
    private static final int UUID_TIME_SHIFT = 16;
    private static final int MAX_LENGTH = 255;
    private static final long MAX_FUTURE_MS = 5 * 60_000L;

    private final Time time;

    public IdempotencyKeyReader(Time time) {
        this.time = time;
    }

    /**
     * Reads the key of a request on a route.
     *
     * @throws RefusedException if a required key or a required time is missing, the key is too long, or its time is in the
     *     future
     */
    public Optional<IdempotencyKey> read(CallerRequest request, Route route) throws RefusedException {
        Optional<String> text = request.idempotencyKey();
        if (text.isEmpty()) {
            if (!route.repeatable()) {
                throw refused(RefusalReason.ID_MISSING, "route " + route.name() + " is not repeatable");
            }
            return Optional.empty();
        }
        IdempotencyKey key = parse(text.get());
        if (key.text().length() > MAX_LENGTH) {
            throw refused(RefusalReason.MALFORMED_REQUEST, "Idempotency-Key is longer than " + MAX_LENGTH);
        }
        if (!route.repeatable() && key.timeMs().isEmpty()) {
            throw refused(
                    RefusalReason.ID_WITHOUT_TIME,
                    "expected a UUID version 7 or a key of the form <unix seconds>-<text>");
        }
        if (key.timeMs().isPresent() && key.timeMs().getAsLong() > time.wallMillis() + MAX_FUTURE_MS) {
            throw refused(RefusalReason.ID_IN_FUTURE, "the key's time is more than 5 minutes in the future");
        }
        return Optional.of(key);
    }

    static IdempotencyKey parse(String text) {
        if (UUID_V7_PATTERN.matcher(text).matches()) {
            long high = UUID.fromString(text).getMostSignificantBits();
            return new IdempotencyKey(text, OptionalLong.of(high >>> UUID_TIME_SHIFT));
        }
        Matcher m = UNIX_SECONDS_PATTERN.matcher(text);
        return new IdempotencyKey(
                text, m.matches() ? OptionalLong.of(Long.parseLong(m.group(1)) * 1000) : OptionalLong.empty());
    }

    private static RefusedException refused(RefusalReason reason, String detail) {
        return new RefusedException(Refusal.notRun(reason, detail));
    }
}
