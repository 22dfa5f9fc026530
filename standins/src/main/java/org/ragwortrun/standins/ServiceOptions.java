package org.ragwortrun.standins;

/**
 * Settings of a stand-in service.
 *
 * @param host address to listen on
 * @param port port, 0 for any
 * @param version version that it reports
 * @param delayMs time before each answer
 * @param dedupeHeader header by which it deduplicates orders, empty for no deduplication
 */
public record ServiceOptions(String host, int port, String version, int delayMs, String dedupeHeader) {

    /** Returns settings for tests: any free port, no delay, no deduplication. */
    public static ServiceOptions defaults() {
        return new ServiceOptions("127.0.0.1", 0, "v1", 0, "");
    }

    public ServiceOptions withListen(String address, int newPort) {
        return new ServiceOptions(address, newPort, version, delayMs, dedupeHeader);
    }

    public ServiceOptions withVersion(String name) {
        return new ServiceOptions(host, port, name, delayMs, dedupeHeader);
    }

    public ServiceOptions withDelayMs(int ms) {
        return new ServiceOptions(host, port, version, ms, dedupeHeader);
    }

    public ServiceOptions withDedupeHeader(String name) {
        return new ServiceOptions(host, port, version, delayMs, name);
    }
}
