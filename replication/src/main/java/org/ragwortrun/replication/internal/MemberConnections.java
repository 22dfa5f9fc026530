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
 * The connections of one host to the other members of its groups.
 *
 * <p>The settings name the members of the start. Those that join later are learned from the member sets, so that a host
 * which has replaced another is reached by all, and a connection that it opened itself serves until then.
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
     * Connects to the members that the settings name.
     *
     * @param self name of this member
     * @param listed addresses by member name
     * @param connector opens a connection that is kept open until it is closed
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

    /** Notes the connection over which a member was heard. */
    public void recordIncoming(String name, Peer peer) {
        if (!peer.equals(incoming.get(name))) {
            incoming.put(name, peer);
        }
    }

    /** Connects to members that are new, and closes connections to those that were learned and are members no longer. */
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

    /** Returns an open connection to a member with room to send. The own one may still wait to reconnect. */
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
