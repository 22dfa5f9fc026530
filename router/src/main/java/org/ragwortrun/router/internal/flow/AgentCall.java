package org.ragwortrun.router.internal.flow;

import java.util.concurrent.Executor;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.net.FrameListener;
import org.ragwortrun.net.OpenCall;
import org.ragwortrun.net.Peer;
import org.ragwortrun.net.TransportException;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.router.internal.agents.AgentLink;

/** One dispatch or attach call to an agent. Its events are delivered on the mailbox of the request. */
final class AgentCall implements FrameListener {
    /** Receives the events of a call. */
    interface Events {
        void onFrame(AgentCall call, Frame frame);

        void onLost(AgentCall call, TransportException cause);
    }

    private final AgentLink link;
    private final String incarnation;
    private final boolean dispatch;
    private final Executor mailbox;
    private final Events events;
    private @Nullable OpenCall call;
    private boolean ended;

    private AgentCall(AgentLink link, Peer peer, boolean dispatch, Executor mailbox, Events events) {
        this.link = link;
        this.incarnation = peer.hello().getIncarnation();
        this.dispatch = dispatch;
        this.mailbox = mailbox;
        this.events = events;
    }

    /** Sends the request. Must be called on the mailbox, so that no event is delivered before this method returns. */
    static AgentCall open(AgentLink link, Peer peer, Frame.Builder request, Executor mailbox, Events events) {
        AgentCall call = new AgentCall(link, peer, request.hasDispatch(), mailbox, events);
        link.requestStarted();
        call.call = peer.open(request, call);
        return call;
    }

    AgentLink link() {
        return link;
    }

    /** Returns the incarnation of the agent that received the request. */
    String incarnation() {
        return incarnation;
    }

    /** Returns whether this call starts a run rather than attaching to one. */
    boolean isDispatch() {
        return dispatch;
    }

    void send(Frame.Builder frame) {
        OpenCall c = call;
        if (c != null && !ended) {
            c.send(frame);
        }
    }

    /** Ends the call. Later events are dropped. */
    void end() {
        if (ended) {
            return;
        }
        ended = true;
        link.requestEnded();
        OpenCall c = call;
        if (c != null) {
            c.close();
        }
    }

    @Override
    public void onFrame(Frame frame) {
        mailbox.execute(() -> {
            if (!ended) {
                events.onFrame(this, frame);
            }
        });
    }

    @Override
    public void onLost(TransportException cause) {
        mailbox.execute(() -> {
            if (!ended) {
                events.onLost(this, cause);
            }
        });
    }
}
