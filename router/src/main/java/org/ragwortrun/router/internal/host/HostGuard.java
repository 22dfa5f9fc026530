package org.ragwortrun.router.internal.host;

/** Protects a host from more requests than its link or processor can handle. Used on the event loop only. */
public interface HostGuard {
    /** A guard for a host of unknown capacity, which accepts all requests. */
    HostGuard NONE = new HostGuard() {
        @Override
        public boolean isShedding() {
            return false;
        }

        @Override
        public boolean accepts(int priority, String account, boolean received) {
            return true;
        }

        @Override
        public boolean isWithdrawn() {
            return false;
        }

        @Override
        public boolean closesConnections() {
            return false;
        }
    };

    /** Returns whether some requests are refused now. */
    boolean isShedding();

    /**
     * Records a new request and returns whether it is accepted. Called once for each request.
     *
     * @param priority lower numbers are more urgent
     * @param account name of the client account, empty if there is none
     * @param received whether its body has been received, so that a refusal does not relieve the receiving link
     */
    boolean accepts(int priority, String account, boolean received);

    /** Returns whether the readiness check fails, so that the load balancer sends new connections elsewhere. */
    boolean isWithdrawn();

    /** Returns whether answers close their connections, so that callers open others. */
    boolean closesConnections();
}
