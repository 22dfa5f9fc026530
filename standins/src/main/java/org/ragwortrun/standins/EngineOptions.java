package org.ragwortrun.standins;

/**
 * Settings of a stand-in engine.
 *
 * @param host address to listen on
 * @param port port, 0 for any
 * @param version version that it reports
 * @param tokenMs time between tokens
 * @param slots number of requests that it runs concurrently
 * @param kvCapacity KV capacity that it reports
 * @param kvLimit number of KV tokens above which it crashes, 0 for no limit
 * @param checksFencing whether it rejects load orders with an outdated fencing number
 * @param eventLagMs delay before cache events can be read
 * @param loadLagMs maximum age of the load that it reports
 */
public record EngineOptions(
        String host,
        int port,
        String version,
        int tokenMs,
        int slots,
        long kvCapacity,
        long kvLimit,
        boolean checksFencing,
        int eventLagMs,
        int loadLagMs) {

    /** Returns settings for tests: any free port, no delay between tokens, no KV limit. */
    public static EngineOptions defaults() {
        return new EngineOptions("127.0.0.1", 0, "v1", 0, 16, 200_000, 0, false, 0, 0);
    }

    public EngineOptions withTokenMs(int ms) {
        return new EngineOptions(
                host, port, version, ms, slots, kvCapacity, kvLimit, checksFencing, eventLagMs, loadLagMs);
    }

    public EngineOptions withVersion(String name) {
        return new EngineOptions(
                host, port, name, tokenMs, slots, kvCapacity, kvLimit, checksFencing, eventLagMs, loadLagMs);
    }

    public EngineOptions withSlots(int count) {
        return new EngineOptions(
                host, port, version, tokenMs, count, kvCapacity, kvLimit, checksFencing, eventLagMs, loadLagMs);
    }

    /** Sets the KV capacity that is reported and the limit above which the engine crashes. */
    public EngineOptions withKv(long capacity, long limit) {
        return new EngineOptions(
                host, port, version, tokenMs, slots, capacity, limit, checksFencing, eventLagMs, loadLagMs);
    }

    public EngineOptions withFencing(boolean checks) {
        return new EngineOptions(
                host, port, version, tokenMs, slots, kvCapacity, kvLimit, checks, eventLagMs, loadLagMs);
    }

    public EngineOptions withLag(int events, int load) {
        return new EngineOptions(host, port, version, tokenMs, slots, kvCapacity, kvLimit, checksFencing, events, load);
    }

    public EngineOptions withListen(String address, int newPort) {
        return new EngineOptions(
                address, newPort, version, tokenMs, slots, kvCapacity, kvLimit, checksFencing, eventLagMs, loadLagMs);
    }
}
