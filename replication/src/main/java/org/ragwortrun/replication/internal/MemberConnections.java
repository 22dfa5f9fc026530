package org.ragwortrun.replication.internal;

import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.AddressException;
import org.ragwortrun.net.FrameClient;
import org.ragwortrun.net.Peer;
import org.ragwortrun.replication.MemberId;

/**
 * Connections of one host to the other members of its groups.
 *
 * <p>The settings list only the initial members. Members that join later are taken from the member sets, so that every
 * host connects to a host that replaced another. Until then, the connection that the new host opened is used.
 */
public final class MemberConnections implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(MemberConnections.class);

    private final String self;
    private final Set<String> listed;
    private final Function<Address, FrameClient> connector;
    private final Map<String, FrameClient> clients = new ConcurrentHashMap<>();
    /** Connections that other members opened, by member name. */
    private final Map<String, Peer> incoming = new ConcurrentHashMap<>();

    /**
     * Connects to the members listed in the settings.
     *
     * @param self name of this member
     * @param listed addresses by member name
     * @param connector opens a connection that reconnects until it is closed
     */
    public MemberConnections(String self, Map<String, Address> listed, Function<Address, FrameClient> connector) {
        this.self = self;
        this.listed = Set.copyOf(listed.keySet());
        this.connector = connector;
        listed.forEach((name, address) -> {
            if (!name.equals(self)) {
                clients.put(name, connector.apply(address));
            }
        });
    }

    /** Records the connection on which a message of a member arrived. */
    public void recordIncoming(String name, Peer peer) {
        if (!peer.equals(incoming.get(name))) {
            incoming.put(name, peer);
        }
    }

    /** Connects to new members, and disconnects from members that are neither in the settings nor in a member set. */
    public void updateMembers(Collection<MemberId> members) {
        Set<String> current = new HashSet<>();
        members.forEach(m -> current.add(m.name()));
        members.stream()
                .filter(m -> !m.name().equals(self) && !clients.containsKey(m.name()))
                .forEach(this::connect);
        clients.keySet().stream()
                .filter(n -> !listed.contains(n) && !current.contains(n))
                .toList()
                .forEach(this::disconnect);
    }

    /**
     * Returns a writable connection to a member. Falls back to the connection that the member opened if the one opened by
     * this host is not established.
     */
    public Optional<Peer> connectionTo(String name) {
        return Optional.ofNullable(clients.get(name))
                .flatMap(FrameClient::peer)
                .or(() -> Optional.ofNullable(incoming.get(name)))
                .filter(Peer::isWritable);
    }

    @Override
    public void close() {
        clients.values().forEach(FrameClient::close);
    }

    private void connect(MemberId member) {
        try {
            clients.put(member.name(), connector.apply(Address.parse(member.address())));
            Event.of("member-learned")
                    .with("member", member.name())
                    .with("address", member.address())
                    .info(LOG);
        } catch (AddressException e) {
            Event.of("member-address-unreadable").with("member", member.name()).warn(LOG, e);
        }
    }

    private void disconnect(String name) {
        FrameClient client = clients.remove(name);
        if (client != null) {
            client.close();
        }
        incoming.remove(name);
        Event.of("member-forgotten").with("member", name).info(LOG);
    }
}
