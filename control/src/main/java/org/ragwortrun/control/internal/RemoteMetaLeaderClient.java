package org.ragwortrun.control.internal;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.ragwortrun.net.TransportException;
import org.ragwortrun.net.control.ControlClient;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.StatusQuery;
import org.ragwortrun.proto.StatusReply;

/** Asks the leader of the meta group over the network. */
public final class RemoteMetaLeaderClient implements MetaLeaderClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final ControlClient client;

    public RemoteMetaLeaderClient(ControlClient client) {
        this.client = client;
    }

    @Override
    public CompletableFuture<StatusReply> status() {
        Frame.Builder query = Frame.newBuilder().setStatusQuery(StatusQuery.getDefaultInstance());
        return client.call(0, query, TIMEOUT).thenCompose(RemoteMetaLeaderClient::requireLeased);
    }

    /** Accepts only the reply of a leased leader; a member that knows no leader replies from its own state. */
    private static CompletableFuture<StatusReply> requireLeased(Frame reply) {
        boolean leased =
                reply.getStatusReply().getGroupsList().stream().anyMatch(g -> g.getGroup() == 0 && g.getLeased());
        return leased
                ? CompletableFuture.completedFuture(reply.getStatusReply())
                : CompletableFuture.failedFuture(new TransportException(
                        TransportException.Kind.PEER_ERROR, "the meta group has no leader under a lease"));
    }
}
