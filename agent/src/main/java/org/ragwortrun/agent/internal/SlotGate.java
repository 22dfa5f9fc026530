package org.ragwortrun.agent.internal;

import org.ragwortrun.agent.AdmissionGate;

/** Admits a request if a slot is free and all admitted requests fit into the KV cache at their maximum size. */
public final class SlotGate implements AdmissionGate {
    private int running;
    private long reservedKvTokens;

    @Override
    public Decision admit(Demand demand, Capacity capacity) {
        long need = capacity.kvTokens() == 0 ? 0 : demand.promptTokens() + demand.outputTokens();
        if (capacity.kvTokens() > 0 && need > capacity.kvTokens()) {
            return new Decision.TooLarge();
        }
        boolean fits = capacity.kvTokens() == 0 || reservedKvTokens + need <= capacity.kvTokens();
        if (running >= capacity.slots() || !fits) {
            return new Decision.Full();
        }
        running++;
        reservedKvTokens += need;
        return new Decision.Admitted(new SlotPermit(need));
    }

    @Override
    public long reservedKvTokens() {
        return reservedKvTokens;
    }

    private final class SlotPermit implements Permit {
        private final long tokens;
        private boolean released;

        SlotPermit(long tokens) {
            this.tokens = tokens;
        }

        @Override
        public void updateOutputTokens(long outputTokens) {
            // The maximum size is reserved on admission.
        }

        @Override
        public void release() {
            if (!released) {
                released = true;
                running--;
                reservedKvTokens -= tokens;
            }
        }
    }
}
