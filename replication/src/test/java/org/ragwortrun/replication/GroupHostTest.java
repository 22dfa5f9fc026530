package org.ragwortrun.replication;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class GroupHostTest {
    @TempDir
    Path folder;

    private Fleet fleet;

    @BeforeEach
    void create() throws Exception {
        fleet = new Fleet(folder, 3, "c1", "c2", "c3");
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    /** Guards against a group that does not replicate, or replies before it has applied. */
    @Test
    void replicatesToAllMembers() throws Exception {
        fleet.startAll();
        List<String> sent = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            sent.add("a" + i);
            assertThat(fleet.propose(1, "a" + i)).isEqualTo(Integer.toString(i + 1));
        }
        for (Fleet.Node node : fleet.running().values()) {
            Fleet.await("all commands", () -> node.machines.get(1).commands().equals(sent));
        }
    }
}
