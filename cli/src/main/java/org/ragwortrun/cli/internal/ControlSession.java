package org.ragwortrun.cli.internal;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.apache.commons.cli.CommandLine;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.Transport;
import org.ragwortrun.net.TransportException;
import org.ragwortrun.net.control.ControlClient;
import org.ragwortrun.proto.ConfigQuery;
import org.ragwortrun.proto.ConfigReply;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.GroupState;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.Role;
import org.ragwortrun.proto.ShardReply;
import org.ragwortrun.proto.ShardRequest;
import org.ragwortrun.proto.StatusQuery;
import org.ragwortrun.proto.StatusReply;

/**
 * Connection to control for the duration of one command.
 *
 * <p>Reads are retried until the timeout. Other requests are sent only once, because their effect is unknown after the
 * connection is lost.
 */
final class ControlSession implements AutoCloseable {
    private static final int META_GROUP = 0;
    private static final int THREADS = 1;
    private static final long RETRY_DELAY_MS = 100;
    private static final String OVERLOADED = "overloaded";

    private final Closer closer = new Closer();
    private final ControlClient client;
    private final Duration timeout;

    ControlSession(Map<String, Address> members, Duration timeout) {
        this.timeout = timeout;
        Hello own =
                Hello.newBuilder().setName("ragwortrun").setRole(Role.OPERATOR).build();
        Transport transport = closer.register(new Transport(own, THREADS));
        client = closer.register(new ControlClient(transport, members, (p, f) -> {}));
    }

    static ControlSession open(CommandLine line) throws CommandException {
        return new ControlSession(CommonOptions.controlMembers(line), CommonOptions.timeout(line));
    }

    ConfigReply configuration() throws CommandException {
        Frame.Builder query = Frame.newBuilder().setConfigQuery(ConfigQuery.getDefaultInstance());
        return read(META_GROUP, query, Frame::hasConfigReply).getConfigReply();
    }

    /** Returns the status reported by the leader, or by any member if no leader is found before the timeout. */
    StatusReply status() throws CommandException {
        Frame.Builder query = Frame.newBuilder().setStatusQuery(StatusQuery.getDefaultInstance());
        long end = System.nanoTime() + timeout.toNanos();
        StatusReply reply = read(META_GROUP, query, Frame::hasStatusReply).getStatusReply();
        while (!isFromLeader(reply) && System.nanoTime() - end < 0) {
            delayRetry();
            reply = read(META_GROUP, query, Frame::hasStatusReply).getStatusReply();
        }
        return reply;
    }

    /** Returns whether the member that sent the status leads the meta group. */
    static boolean isFromLeader(StatusReply status) {
        return status.getGroupsList().stream().anyMatch(g -> g.getGroup() == META_GROUP && g.getLeased());
    }

    /** Returns the number of shard groups. */
    int shardCount() throws CommandException {
        List<GroupState> groups = status().getGroupsList();
        return groups.size() - 1;
    }

    Frame read(int group, Frame.Builder query, Predicate<Frame> isReply) throws CommandException {
        long end = System.nanoTime() + timeout.toNanos();
        while (true) {
            Duration left = Duration.ofNanos(Math.max(1, end - System.nanoTime()));
            CommandException failure;
            try {
                Frame reply = await(client.call(group, query.clone(), left));
                if (isReply.test(reply)) {
                    return reply;
                }
                failure = refused(reply);
                if (!OVERLOADED.equals(reply.getError().getType())) {
                    throw failure;
                }
            } catch (TransportException e) {
                failure = unreachable(e);
            }
            if (System.nanoTime() - end >= 0) {
                throw failure;
            }
            delayRetry();
        }
    }

    /** Starts a read of a shard without waiting, for callers that read many at a time. It is not retried. */
    CompletableFuture<ShardReply> readShardAsync(ShardRequest request) {
        return client.call(request.getGroup(), Frame.newBuilder().setShardRequest(request), timeout)
                .thenApply(Frame::getShardReply);
    }

    ShardReply readShard(ShardRequest request) throws CommandException {
        Frame.Builder query = Frame.newBuilder().setShardRequest(request);
        return read(request.getGroup(), query, Frame::hasShardReply).getShardReply();
    }

    /**
     * Sends a request once.
     *
     * @throws TransportException of kind {@code NOT_SENT} if the request had no effect; with other kinds the effect is
     *     unknown
     */
    Frame sendOnce(int group, Frame.Builder request, Duration callTimeout) throws CommandException, TransportException {
        return await(client.call(group, request, callTimeout));
    }

    Duration timeout() {
        return timeout;
    }

    /** Creates the exception for an error reply. */
    static CommandException refused(Frame reply) {
        return new CommandException(
                ExitCode.REFUSED,
                "control refused: " + reply.getError().getType() + ": "
                        + reply.getError().getDetail());
    }

    static CommandException unreachable(TransportException e) {
        return new CommandException(ExitCode.UNREACHABLE, "control not reachable: " + e.getMessage(), e);
    }

    @Override
    public void close() {
        closer.close();
    }

    private static Frame await(CompletableFuture<Frame> call) throws CommandException, TransportException {
        try {
            return call.get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof TransportException t) {
                throw new TransportException(t.kind(), String.valueOf(t.getMessage()), e);
            }
            throw new CommandException(ExitCode.UNREACHABLE, String.valueOf(e.getMessage()), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.UNREACHABLE, "interrupted", e);
        }
    }

    private static void delayRetry() throws CommandException {
        try {
            TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.UNREACHABLE, "interrupted", e);
        }
    }
}
