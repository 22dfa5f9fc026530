package org.ragwortrun.measure.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;
import java.util.TreeMap;
import org.ragwortrun.measure.fleet.CommandResult;
import org.ragwortrun.measure.fleet.Fleet;
import org.ragwortrun.measure.fleet.FleetException;
import org.ragwortrun.measure.fleet.SmallFleet;

/** Reads the dealer's statement through the command line, and records the largest overspend that it shows. */
final class StatementMonitor {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Fleet fleet;
    private volatile long maxOverspend;
    private volatile int readings;
    private volatile Map<String, Budget> last = Map.of();

    StatementMonitor(Fleet fleet) {
        this.fleet = fleet;
    }

    /** Reads the statement, and skips the reading if the command fails, as it does while control has no leader. */
    synchronized void read() throws FleetException {
        CommandResult result = fleet.command("statement", SmallFleet.DEALER, "--json");
        if (result.exit() != 0) {
            return;
        }
        Map<String, Budget> budgets = new TreeMap<>();
        try {
            for (JsonNode b : JSON.readTree(result.output()).path("budgets")) {
                Budget budget = new Budget(
                        b.path("prepaid").asLong(),
                        b.path("settled").asLong(),
                        b.path("held").asLong(),
                        b.path("bills").asLong());
                budgets.put(b.path("service").asText(), budget);
                maxOverspend = Math.max(maxOverspend, budget.settled() + budget.held() - budget.prepaid());
            }
        } catch (JsonProcessingException e) {
            throw new FleetException("statement is not JSON: " + result.output(), e);
        }
        readings++;
        last = budgets;
    }

    long maxOverspend() {
        return maxOverspend;
    }

    int readings() {
        return readings;
    }

    /** Returns a budget from the last successful reading. */
    Budget budget(String service) throws FleetException {
        Budget budget = last.get(service);
        if (budget == null) {
            throw new FleetException("no statement could be read for service " + service);
        }
        return budget;
    }

    /** A budget as the statement shows it, in tokens. */
    record Budget(long prepaid, long settled, long held, long bills) {}
}
