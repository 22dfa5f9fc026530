package org.ragwortrun.routing;

/** Estimates the bytes that data on a TCP connection occupies on a link, packet headers and acknowledgements included. */
public final class PacketOverhead {
    // Ethernet, IPv4 and TCP with timestamps.
    private static final long HEADER_BYTES = 14 + 20 + 32;
    private static final long PAYLOAD_BYTES = 1_448;
    // Receivers acknowledge every second full packet.
    private static final long PACKETS_PER_ACKNOWLEDGEMENT = 2;
    // Packets of the handshake or of an orderly close, in each direction.
    private static final long CONNECTION_PACKETS = 2;

    private PacketOverhead() {}

    /** Returns the bytes that a link carries for data that is sent at once. */
    public static long withHeaders(long bytes) {
        return bytes + packets(bytes) * HEADER_BYTES;
    }

    /** Returns the bytes of the acknowledgements of data that is sent at once. */
    public static long acknowledgements(long bytes) {
        return divideUp(packets(bytes), PACKETS_PER_ACKNOWLEDGEMENT) * HEADER_BYTES;
    }

    /** Returns the bytes in each direction to open a connection, or to close one. */
    public static long connection() {
        return CONNECTION_PACKETS * HEADER_BYTES;
    }

    private static long packets(long bytes) {
        return divideUp(bytes, PAYLOAD_BYTES);
    }

    private static long divideUp(long a, long b) {
        return (a + b - 1) / b;
    }
}
