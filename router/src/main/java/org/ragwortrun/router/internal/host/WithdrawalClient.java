package org.ragwortrun.router.internal.host;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.WithdrawalReply;
import org.ragwortrun.proto.WithdrawalRequest;
import org.ragwortrun.router.internal.pool.PeerLinks;
import org.ragwortrun.router.internal.pool.RouterPeer;

/** Asks the coordinator of the own data center for permission to leave the rotation of the load balancer. */
public final class WithdrawalClient {
    // The reply may wait behind other data on a full link.
    private static final Duration TIMEOUT = Duration.ofMillis(2_500);

    private final String ownName;
    private final String dataCenter;
    private final PeerLinks links;
    private final WithdrawalServer ownServer;
    private final IntSupplier connectedRouters;

    /**
     * Creates a client.
     *
     * @param connectedRouters number of routers of all data centers
     */
    public WithdrawalClient(
            String ownName,
            String dataCenter,
            PeerLinks links,
            WithdrawalServer ownServer,
            IntSupplier connectedRouters) {
        this.ownName = ownName;
        this.dataCenter = dataCenter;
        this.links = links;
        this.ownServer = ownServer;
        this.connectedRouters = connectedRouters;
    }

    /**
     * Asks for a lease, or returns one if the time is 0. The result is empty without a coordinator or without its reply,
     * and may be completed by another thread.
     */
    CompletableFuture<Optional<WithdrawalLease>> ask(long nanos) {
        List<String> listed = links.names(dataCenter);
        int known = Math.max(listed.size() + (listed.contains(ownName) ? 0 : 1), estimatedRouters(listed.size()));
        WithdrawalRequest request = WithdrawalRequest.newBuilder()
                .setDurationMs((int) TimeUnit.NANOSECONDS.toMillis(nanos))
                .setKnownRouters(known)
                .build();
        return links.hub(dataCenter)
                .map(hub -> ask(hub, request))
                .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()));
    }

    /** Routers on hosts with control members are not listed. They are spread over the data centers like the others. */
    private int estimatedRouters(int listedHere) {
        int listed = links.size();
        return listed == 0 ? 0 : (int) Math.round((double) listedHere * connectedRouters.getAsInt() / listed);
    }

    private CompletableFuture<Optional<WithdrawalLease>> ask(RouterPeer hub, WithdrawalRequest request) {
        if (hub.name().equals(ownName)) {
            return CompletableFuture.completedFuture(
                    Optional.of(lease(ownServer.request(ownName, request), hub.name())));
        }
        return links.call(hub, Frame.newBuilder().setWithdrawalRequest(request), TIMEOUT)
                .handle((reply, failure) -> Optional.ofNullable(reply)
                        .filter(Frame::hasWithdrawalReply)
                        .map(r -> lease(r.getWithdrawalReply(), hub.name())));
    }

    private static WithdrawalLease lease(WithdrawalReply reply, String coordinator) {
        return new WithdrawalLease(
                reply.getGranted(), TimeUnit.MILLISECONDS.toNanos(reply.getDurationMs()), coordinator);
    }
}
