package org.ragwortrun.core.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class SettingsTest {
    @TempDir
    Path folder;

    /** Guards against a misspelled key that is ignored, so that the default applies. */
    @Test
    void reportsEveryProblem() throws IOException, SettingsException {
        Path file = Files.writeString(folder.resolve("s.ini"), "[http]\nport = many\nprot = 1\n[dedupe]\na.b = 1\n");
        Settings s = Settings.read(file);
        s.number("http.port", 80, 0, 65_535);
        s.text("name");
        s.text("dedupe.a.b", "");
        SettingsException e = assertThrows(SettingsException.class, s::check);
        assertThat(e.problems())
                .containsExactly(
                        "http.port must be a whole number from 0 to 65535, not many",
                        "name is required",
                        "http.prot is not a known key");
    }

    /** Guards against a daemon that does not start because a template was filled without a value. */
    @Test
    void usesDefaultForBlankValue() throws IOException, SettingsException {
        Path file = Files.writeString(folder.resolve("s.ini"), "[http]\nport=\nwait=\nshare=\nhost=\n");
        Settings s = Settings.read(file);
        assertThat(s.number("http.port", 80, 0, 65_535)).isEqualTo(80);
        assertThat(s.duration("http.wait", Duration.ofSeconds(2))).isEqualTo(Duration.ofSeconds(2));
        assertThat(s.decimal("http.share", 0.5, 0, 1)).isEqualTo(0.5);
        assertThat(s.text("http.host", "127.0.0.1")).isEqualTo("127.0.0.1");
        s.check();
    }
}
