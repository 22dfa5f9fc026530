package org.ragwortrun.agent;

import org.ragwortrun.agent.internal.AgentProcess;
import org.ragwortrun.agent.internal.AgentSettings;
import org.ragwortrun.agent.internal.SlotGate;
import org.ragwortrun.core.error.RagwortrunException;
import org.ragwortrun.core.settings.Settings;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.control.MemberSettings;

/** The agent of one endpoint. All requests and load orders reach the endpoint through its agent. */
public final class AgentDaemon implements AutoCloseable {
    private final AgentProcess process;
    private final MemberSettings members;

    private AgentDaemon(Settings settings, AgentProcess process) {
        this.process = process;
        members = MemberSettings.follow(settings, process::configureMembers);
    }

    /**
     * Starts an agent, which reads the file of its settings again for changed control members.
     *
     * @throws RagwortrunException if the settings are invalid or the address cannot be bound
     */
    public static AgentDaemon start(Settings settings) throws RagwortrunException {
        return start(settings, new SlotGate(), Time.system());
    }

    /** Starts an agent with the given admission gate and clock. */
    public static AgentDaemon start(Settings settings, AdmissionGate gate, Time time) throws RagwortrunException {
        return new AgentDaemon(settings, AgentProcess.start(AgentSettings.read(settings), gate, time));
    }

    /** Returns the port on which the agent listens for routers. */
    public int port() {
        return process.port();
    }

    public String incarnation() {
        return process.incarnation();
    }

    /** Returns the number of answer bytes that have not been sent to their subscribers, over all running requests. */
    public long unsentBytes() {
        return process.unsentBytes();
    }

    /** Refuses new requests, finishes running ones, delivers all usage, then stops. */
    @Override
    public void close() {
        members.close();
        process.close();
    }
}
