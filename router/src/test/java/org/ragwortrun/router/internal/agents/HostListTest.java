package org.ragwortrun.router.internal.agents;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class HostListTest {
    /** Guards against a stale entry that takes a host out of service again after it has come back. */
    @Test
    void reportsOnlyHostsThatAreNewlyLeaving(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("hosts.json");
        List<Set<String>> heard = new ArrayList<>();
        HostList list = new HostList(file.toString(), new ObjectMapper(), heard::add);
        write(file, "live", "live");
        list.run();
        write(file, "leaving", "live");
        list.run();
        list.run();
        Files.writeString(file, "{broken");
        list.run();
        Files.delete(file);
        list.run();
        write(file, "leaving", "leaving");
        list.run();
        write(file, "live", "live");
        list.run();
        write(file, "leaving", "live");
        list.run();
        assertThat(heard).containsExactly(Set.of("a"), Set.of("b"), Set.of("a")).inOrder();
    }

    private static void write(Path file, String a, String b) throws Exception {
        Files.writeString(
                file,
                "{\"hosts\":[{\"name\":\"a\",\"state\":\"" + a + "\"},{\"name\":\"b\",\"state\":\"" + b + "\"}]}");
    }
}
