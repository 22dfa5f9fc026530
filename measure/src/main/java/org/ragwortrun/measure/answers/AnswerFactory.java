package org.ragwortrun.measure.answers;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;

/** Chooses the answers of one endpoint, and the earlier one that it repeats. */
final class AnswerFactory {
    private static final int MOST_REMEMBERED = 64;
    private static final int[] STATUSES = {200, 200, 200, 200, 200, 500, 500, 503, 404, 204, 304};
    private static final int[] OTHER_STATUSES = {200, 500, 503, 204, 304, 404};
    private static final int LONG_PARTS = 2_000;

    private final String name;
    private final Predicate<String> hasLeft;
    private final AtomicLong count = new AtomicLong();
    private final List<Answer> earlier = new ArrayList<>();

    /**
     * Creates the factory of an endpoint.
     *
     * @param hasLeft whether the caller of the request with an id has left
     */
    AnswerFactory(String name, Predicate<String> hasLeft) {
        this.name = name;
        this.hasLeft = hasLeft;
    }

    /** Returns the answer to a request. A request that gets 503 does not run. */
    Answer answerTo(EndpointRequest request, UniformRandomProvider random) {
        int status = STATUSES[random.nextInt(STATUSES.length)];
        boolean stream = request.path().startsWith(Kind.STREAM.path()) && status == 200;
        Answer answer = new Answer(
                request.id(),
                status,
                nextProof(),
                status == 503 && random.nextInt(3) > 0,
                framing(random, stream),
                stream,
                request.method().equals("HEAD"),
                body(request.id(), stream, random));
        remember(answer);
        return answer;
    }

    /** Returns a copy of an earlier answer, or one to the same request with another status. */
    Answer extra(Answer current, UniformRandomProvider random) {
        Answer base = random.nextInt(3) == 0 ? current : earlier(random);
        if (random.nextInt(12) == 0) {
            return new Answer("", 100, "", false, Framing.LENGTH, false, true, "");
        }
        if (random.nextBoolean()) {
            return base;
        }
        int status = OTHER_STATUSES[random.nextInt(OTHER_STATUSES.length)];
        // An endpoint that states "not run" for a request that it runs would be at fault itself.
        boolean current503 = base.id().equals(current.id()) && status == 503;
        return new Answer(
                base.id(),
                current503 ? 500 : status,
                nextProof(),
                status == 503 && !current503,
                framing(random, false),
                false,
                random.nextInt(8) == 0 ? !base.bodiless() : base.bodiless(),
                body(base.id(), false, random));
    }

    private String nextProof() {
        return name + "-" + count.incrementAndGet();
    }

    private synchronized void remember(Answer answer) {
        if (earlier.size() == MOST_REMEMBERED) {
            earlier.remove(0);
        }
        earlier.add(answer);
    }

    private synchronized Answer earlier(UniformRandomProvider random) {
        int draw = random.nextInt(6);
        Predicate<Answer> special = draw == 0 ? a -> a.status() == 503 : a -> hasLeft.test(a.id());
        List<Answer> chosen = draw < 2 ? earlier.stream().filter(special).toList() : List.of();
        if (!chosen.isEmpty()) {
            return chosen.get(random.nextInt(chosen.size()));
        }
        int age = Math.min(random.nextInt(4) == 0 ? random.nextInt(MOST_REMEMBERED) : 1, earlier.size() - 1);
        return earlier.get(earlier.size() - 1 - age);
    }

    private static Framing framing(UniformRandomProvider random, boolean stream) {
        int draw = random.nextInt(10);
        if (draw == 0) {
            return Framing.UNTIL_CLOSE;
        }
        return stream || draw < 4 ? Framing.CHUNKS : Framing.LENGTH;
    }

    private static String body(String id, boolean stream, UniformRandomProvider random) {
        StringBuilder body = new StringBuilder();
        int parts = random.nextInt(20) == 0 ? LONG_PARTS : random.nextInt(stream ? 6 : 30);
        for (int i = 1; i <= parts; i++) {
            body.append(stream ? "id: " + i + "\ndata: " + id + "\n\n" : id + "/" + i + ";");
        }
        return body.toString();
    }
}
