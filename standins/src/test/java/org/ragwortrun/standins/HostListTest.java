package org.ragwortrun.standins;

import static com.google.common.truth.Truth.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class HostListTest {
    /** Guards against a list that shows changes immediately, which would hide faults of its clients. */
    @Test
    void showsChangesAfterLag() throws Exception {
        try (HostList list = HostList.start("127.0.0.1", 0, 400)) {
            list.setLive("m1");
            TimeUnit.MILLISECONDS.sleep(450);
            list.setLeaving("m1");
            assertThat(read(list)).contains("\"m1\":\"live\"");
            TimeUnit.MILLISECONDS.sleep(450);
            assertThat(read(list)).contains("\"m1\":\"leaving\"");
        }
    }

    private static String read(HostList list) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create(list.url())).build();
        return HttpClient.newHttpClient()
                .send(request, HttpResponse.BodyHandlers.ofString())
                .body();
    }
}
