package org.ragwortrun.routing;

/**
 * Utilization of a host, as parts of its capacity. A part that is not watched is 0. A direction of the link exceeds 1 if
 * more is written than the link can send.
 *
 * @param in receiving direction of the link
 * @param out sending direction of the link
 * @param processor processor time of this process
 */
public record HostUtilization(double in, double out, double processor) {
    /** A host without load. */
    public static final HostUtilization IDLE = new HostUtilization(0, 0, 0);

    /** Returns the utilization of the busier direction of the link. */
    public double link() {
        return Math.max(in, out);
    }

    /** Returns the utilization without the receiving direction of the link. */
    public HostUtilization withoutReceiving() {
        return new HostUtilization(0, out, processor);
    }

    /** Returns the highest utilization. */
    public double highest() {
        return Math.max(link(), processor);
    }
}
