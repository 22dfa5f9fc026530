package org.ragwortrun.net;

import io.netty.util.NetUtil;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An IP address and a port.
 *
 * @param host IP address
 * @param port port, 0 to let the operating system choose
 */
public record Address(String host, int port) {
    private static final Pattern FORM = Pattern.compile("([0-9.]+|\\[[0-9a-fA-F:]+])(?::)(\\d{1,5})");
    private static final int MAX_PORT = 65_535;

    /**
     * Parses {@code ip:port}.
     *
     * @throws AddressException if the text has another form
     */
    public static Address parse(String text) throws AddressException {
        Matcher m = FORM.matcher(text.trim());
        if (!m.matches() || Integer.parseInt(m.group(2)) > MAX_PORT) {
            throw new AddressException(text);
        }
        String host = m.group(1).replace("[", "").replace("]", "");
        if (!NetUtil.isValidIpV4Address(host) && !NetUtil.isValidIpV6Address(host)) {
            throw new AddressException(text);
        }
        return new Address(host, Integer.parseInt(m.group(2)));
    }

    /**
     * Parses {@code ip:port} of another process, whose port is not 0.
     *
     * @throws AddressException if the text has another form
     */
    public static Address parseRemote(String text) throws AddressException {
        Address address = parse(text);
        if (address.port == 0) {
            throw new AddressException(text);
        }
        return address;
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
