package org.ragwortrun.control.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.config.Budget;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.ConfigurationException;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.TopUp;

/** Caches the parsed form of the last requested snapshot, and its top-ups by shard. */
public final class ConfigurationCache {
    private static final Logger LOG = LogManager.getLogger(ConfigurationCache.class);

    private final int shards;
    private @Nullable Parsed last;

    public ConfigurationCache(int shards) {
        this.shards = shards;
    }

    /** Returns the configuration, or empty if the sections cannot be parsed; the failure is logged. */
    public Optional<Configuration> configuration(MetaSnapshot snapshot) {
        return Optional.ofNullable(parsed(snapshot).configuration);
    }

    /** Returns the top-ups of the accounts that belong to the shard. */
    public List<TopUp> topUps(MetaSnapshot snapshot, int shard) {
        return parsed(snapshot).topUps.getOrDefault(shard, List.of());
    }

    @SuppressWarnings({"ReferenceEquality", "PMD.CompareObjectsWithEquals"}) // snapshots are compared by identity
    private synchronized Parsed parsed(MetaSnapshot snapshot) {
        Parsed p = last;
        if (p == null || p.snapshot != snapshot) {
            p = parse(snapshot);
            last = p;
        }
        return p;
    }

    private Parsed parse(MetaSnapshot s) {
        try {
            Configuration c = Configuration.of(s.number(), s.sections(), s.moves(), s.decisions(), s.orderedMoves());
            return new Parsed(s, c, topUps(c));
        } catch (ConfigurationException e) {
            Event.of("configuration-unreadable").with("number", s.number()).error(LOG, e);
            return new Parsed(s, null, Map.of());
        }
    }

    private Map<Integer, List<TopUp>> topUps(Configuration configuration) {
        Map<Integer, List<TopUp>> byShard = new HashMap<>();
        for (Budget b : configuration.budgets()) {
            List<TopUp> list = byShard.computeIfAbsent(Digests.shard(b.account(), shards), k -> new ArrayList<>());
            BudgetRef ref = BudgetRef.newBuilder()
                    .setAccount(b.account())
                    .setService(b.service())
                    .build();
            b.total()
                    .ifPresent(tokens -> list.add(TopUp.newBuilder()
                            .setBudget(ref)
                            .setTokens(tokens)
                            .setTotal(true)
                            .build()));
            b.topUps()
                    .forEach((id, tokens) -> list.add(TopUp.newBuilder()
                            .setBudget(ref)
                            .setId(id)
                            .setTokens(tokens)
                            .build()));
        }
        return byShard;
    }

    private record Parsed(
            MetaSnapshot snapshot, @Nullable Configuration configuration, Map<Integer, List<TopUp>> topUps) {}
}
