package org.ragwortrun.router.internal.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/** Requests of one connection that wait for the answers to earlier ones. Used on the event loop only. */
final class WaitingRequests {
    private static final int MAX_REQUESTS = 16;

    private final Deque<CompleteRequest> requests = new ArrayDeque<>();
    private boolean inputEnded;

    /**
     * A request with its whole body.
     *
     * @param accepted whether the load of this host allowed it when its head arrived; otherwise this is checked later
     */
    record CompleteRequest(HttpRequest head, ByteBuf body, boolean accepted) {
        long heldBytes() {
            return body.refCnt() == 0 ? 0 : body.capacity();
        }
    }

    void add(CompleteRequest request) {
        requests.add(request);
    }

    /** Removes and returns the first request. */
    @Nullable
    CompleteRequest poll() {
        return requests.poll();
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    /** Returns whether no more requests should be read now. */
    boolean isFull() {
        return requests.size() >= MAX_REQUESTS;
    }

    /** Marks that no request follows those that wait, because the start of the next one is unknown. */
    void endInput() {
        inputEnded = true;
    }

    /** Returns whether data that still arrives belongs to no request. */
    boolean isInputEnded() {
        return inputEnded;
    }

    /** Returns whether no request is left and none follows. */
    boolean isExhausted() {
        return inputEnded && requests.isEmpty();
    }

    long heldBytes() {
        return requests.stream().mapToLong(CompleteRequest::heldBytes).sum();
    }

    /** Drops all requests. */
    void clear() {
        requests.forEach(r -> r.body().release());
        requests.clear();
    }
}
