package org.ragwortrun.agent.internal;

import org.ragwortrun.agent.AdmissionGate;

/** Admits while slots are free and the worst cases of all admitted requests fit into the KV cache. */
public final class SlotGate implements AdmissionGate {
    private int running;
    private long held;

    @Override
    public Decision admit(Demand demand, Capacity capacity) {
        long need = capacity.kvTokens() == 0 ? 0 : demand.promptTokens() + demand.outputTokens();
        if (capacity.kvTokens() > 0 && need > capacity.kvTokens()) {
            return new Decision.TooLarge();
        }
        boolean fits = capacity.kvTokens() == 0 || held + need <= capacity.kvTokens();
        if (running >= capacity.slots() || !fits) {
            return new Decision.Full();
        }
        running++;
        held += need;
        return new Decision.Admitted(new HeldPlace(need));
    }

    @Override
    public long kvTokensHeld() {
        return held;
    }

    private final class HeldPlace implements Place {
        private final long tokens;
        private boolean released;

        HeldPlace(long tokens) {
            this.tokens = tokens;
        }

        @Override
        public void grown(long outputTokens) {
            // The worst case is held from the start.
        }

        @Override
        public void release() {
            if (!released) {
                released = true;
                running--;
                held -= tokens;
            }
        }
    }
}
