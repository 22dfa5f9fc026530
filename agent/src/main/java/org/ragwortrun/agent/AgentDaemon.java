package org.ragwortrun.agent;

import org.ragwortrun.agent.internal.AgentProcess;
import org.ragwortrun.agent.internal.AgentSettings;
import org.ragwortrun.agent.internal.SlotGate;
import org.ragwortrun.core.error.RagwortrunException;
import org.ragwortrun.core.settings.Settings;
import org.ragwortrun.core.time.Time;

/** The agent of one endpoint: the only way to that endpoint, both for work and for orders. */
public final class AgentDaemon implements AutoCloseable {
    private final AgentProcess process;

    private AgentDaemon(AgentProcess process) {
        this.process = process;
    }

    /**
     * Starts an agent.
     *
     * @throws RagwortrunException if the settings are wrong or the address cannot be bound
     */
    public static AgentDaemon start(Settings settings) throws RagwortrunException {
        return start(settings, new SlotGate(), Time.system());
    }

    /** Starts an agent with a gate and a clock of its own. */
    public static AgentDaemon start(Settings settings, AdmissionGate gate, Time time) throws RagwortrunException {
        return new AgentDaemon(AgentProcess.start(AgentSettings.read(settings), gate, time));
    }

    /** Returns the port on which routers are served. */
    public int port() {
        return process.port();
    }

    public String incarnation() {
        return process.incarnation();
    }

    /** Leaves: refuses new work, finishes what runs, delivers all usage, then ends. */
    @Override
    public void close() {
        process.close();
    }
}
