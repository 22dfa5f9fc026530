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

/** Reads the dealer's statement as an operator does, and notes the largest overspend that it ever shows. */
final class BudgetWatch {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Fleet fleet;
    private volatile long overspend;
    private volatile int readings;
    private volatile Map<String, Budget> last = Map.of();

    BudgetWatch(Fleet fleet) {
        this.fleet = fleet;
    }

    /** Reads the statement. A reading while control has no leader is skipped. */
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
                overspend = Math.max(overspend, budget.settled() + budget.held() - budget.prepaid());
            }
        } catch (JsonProcessingException e) {
            throw new FleetException("statement is not JSON: " + result.output(), e);
        }
        readings++;
        last = budgets;
    }

    long overspend() {
        return overspend;
    }

    int readings() {
        return readings;
    }

    /** Returns a budget of the last reading. */
    Budget budget(String service) throws FleetException {
        Budget budget = last.get(service);
        if (budget == null) {
            throw new FleetException("no statement of " + service + " could be read");
        }
        return budget;
    }

    /** A budget as the statement shows it, in tokens. */
    record Budget(long prepaid, long settled, long held, long bills) {}
}
