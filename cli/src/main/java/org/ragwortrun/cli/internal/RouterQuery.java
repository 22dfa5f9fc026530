package org.ragwortrun.cli.internal;

import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.FrameClient;
import org.ragwortrun.net.Transport;
import org.ragwortrun.net.TransportException;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.Role;
import org.ragwortrun.proto.RouteExplanation;
import org.ragwortrun.proto.RouteQuery;

/** Asks one router a question that has no effect, and therefore may be repeated. */
final class RouterQuery {
    private static final long RETRY_DELAY_MS = 50;

    private RouterQuery() {}

    static RouteExplanation explain(Address router, RouteQuery query, Duration timeout) throws CommandException {
        Hello own =
                Hello.newBuilder().setName("ragwortrun").setRole(Role.OPERATOR).build();
        long end = System.nanoTime() + timeout.toNanos();
        try (Transport transport = new Transport(own, 1);
                FrameClient client = transport.connect(router, (p, f) -> {})) {
            Frame reply = call(client, query, end);
            if (!reply.hasRouteExplanation()) {
                throw new CommandException(
                        ExitCode.REFUSED,
                        "the process at " + router + " does not explain routes: "
                                + reply.getError().getDetail());
            }
            return reply.getRouteExplanation();
        } catch (TimeoutException e) {
            throw new CommandException(ExitCode.UNREACHABLE, "router not reachable: " + e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.UNREACHABLE, "interrupted", e);
        }
    }

    private static Frame call(FrameClient client, RouteQuery query, long end)
            throws InterruptedException, TimeoutException {
        String last = "no connection";
        for (long left = end - System.nanoTime(); left > 0; left = end - System.nanoTime()) {
            try {
                return client.call(Frame.newBuilder().setRouteQuery(query), Duration.ofNanos(left))
                        .get(left, TimeUnit.NANOSECONDS);
            } catch (ExecutionException e) {
                last = String.valueOf(e.getCause() instanceof TransportException t ? t.getMessage() : e.getMessage());
            }
            TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MS);
        }
        throw new TimeoutException(last);
    }
}
