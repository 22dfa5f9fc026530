package org.ragwortrun.standins;

/**
 * Settings of a stand-in engine.
 *
 * @param host address to listen on
 * @param port port, 0 for any
 * @param version version that it claims to run
 * @param tokenMs time between tokens
 * @param slots requests that it runs at a time
 * @param kvCapacity KV capacity that it reports
 * @param kvLimit KV tokens beyond which it crashes, 0 for never
 * @param checksFencing whether it refuses load orders with an old fencing number
 * @param eventLagMs time after which cache events can be read
 * @param loadLagMs age of the load that it reports
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

    /** Returns settings for tests: any port, no pause between tokens, no memory limit. */
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

    /** Sets the KV capacity that is reported and the limit beyond which the engine crashes. */
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
