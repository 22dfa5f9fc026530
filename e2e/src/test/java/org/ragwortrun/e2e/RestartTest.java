package org.ragwortrun.e2e;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Files;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.measure.fleet.Fleet;
import org.ragwortrun.measure.fleet.FleetException;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.Transport;
import org.ragwortrun.net.control.ControlClient;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.Publish;
import org.ragwortrun.proto.PublishReply;
import org.ragwortrun.proto.Role;
import org.ragwortrun.proto.Section;

final class RestartTest {
    private static final int CHANGES = 500;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    /** Guards against control members that lose changes or return to an earlier state when all are killed and restarted. */
    @Test
    void keepsAllChangesAfterRestartOfAllMembers() throws Exception {
        try (Closer closer = new Closer()) {
            Fleet fleet = closer.register(new Fleet(1));
            fleet.addControls(3);
            fleet.startAll();
            Transport transport = closer.register(new Transport(
                    Hello.newBuilder().setName("test").setRole(Role.OPERATOR).build(), 1));
            Map<String, Address> members = new LinkedHashMap<>();
            for (String name : new String[] {"c1", "c2", "c3"}) {
                members.put(name, new Address("127.0.0.1", fleet.controlPort(name)));
            }
            ControlClient control = closer.register(new ControlClient(transport, members, (p, f) -> {}));
            for (int i = 0; i < CHANGES; i++) {
                PublishReply reply = publish(control, i);
                assertThat(reply.getNumber()).isEqualTo(i + 1);
            }
            for (String name : members.keySet()) {
                fleet.process(name).kill();
            }
            fleet.startAll();
            fleet.await("the configuration number after the restart", () -> configurationNumber(fleet) == CHANGES);
            assertThat(Files.readString(fleet.process("c1").log())).contains("event=group-restarted");
        }
    }

    private static PublishReply publish(ControlClient control, int change) throws Exception {
        Section account = Section.newBuilder()
                .setKind("account")
                .setName("a" + change)
                .putProperties("keys", "%064x".formatted(change + 1))
                .build();
        Frame.Builder request = Frame.newBuilder()
                .setPublish(Publish.newBuilder()
                        .setBasedOn(change)
                        .setPublishId("change-" + change)
                        .setOperator("test")
                        .addSections(account));
        return control.call(0, request, TIMEOUT).get().getPublishReply();
    }

    private static long configurationNumber(Fleet fleet) throws FleetException {
        var status = fleet.command("status", "--json");
        return status.exit() == 0
                ? ProxiedFleet.json(status.output()).path("number").asLong()
                : -1;
    }
}
