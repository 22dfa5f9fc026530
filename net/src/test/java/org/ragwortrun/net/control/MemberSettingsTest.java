package org.ragwortrun.net.control;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.ragwortrun.core.settings.Settings;
import org.ragwortrun.net.Address;

final class MemberSettingsTest {
    private static final String BEFORE = "[control]\nmembers = c1=10.0.0.1:7001\n";
    private static final String AFTER = "[control]\nmembers = c4=10.0.0.4:7001, c5=10.0.0.5:7001\n";

    @TempDir
    private Path folder;

    private final List<Map<String, Address>> received = new ArrayList<>();
    private Path file;
    private MemberSettings followed;

    @BeforeEach
    void start() throws Exception {
        file = Files.writeString(folder.resolve("router.ini"), BEFORE);
        followed = MemberSettings.follow(Settings.read(file), received::add);
        followed.close();
    }

    @AfterEach
    void stop() {
        followed.close();
    }

    /** Guards against connections that are opened again although the members are the same. */
    @Test
    void passesOnChangedMembersOnce() throws Exception {
        followed.run();
        Files.writeString(file, AFTER);
        followed.run();
        Files.writeString(file, AFTER + "[daemon]\nname = r1\n");
        followed.run();
        assertThat(received)
                .containsExactly(Map.of("c4", new Address("10.0.0.4", 7_001), "c5", new Address("10.0.0.5", 7_001)));
    }

    /** Guards against a file that is being written, and takes all members away. */
    @Test
    void keepsMembersWhileFileIsUnusable() throws Exception {
        for (String text :
                List.of("", "[control]\n", "[control]\nmembers = c4\n", "[control]\nmembers = c4=10.0.0.4:x\n")) {
            Files.writeString(file, text);
            followed.run();
        }
        Files.delete(file);
        followed.run();
        assertThat(received).isEmpty();
        Files.writeString(file, AFTER);
        followed.run();
        assertThat(received).hasSize(1);
    }
}
