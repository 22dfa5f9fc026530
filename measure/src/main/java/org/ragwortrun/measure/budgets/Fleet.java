package org.ragwortrun.measure.budgets;

import java.util.List;
import org.ragwortrun.proto.BudgetRef;

/** Routers and agents to which the owner sends messages. */
interface Fleet {
    Fleet EMPTY = new Fleet() {
        @Override
        public List<String> agentNames() {
            return List.of();
        }

        @Override
        public void recall(int from, String incarnation, BudgetRef budget) {}

        @Override
        public void fence(int from, String incarnation) {}
    };

    List<String> agentNames();

    /** Asks a router to return unused tokens. */
    void recall(int from, String incarnation, BudgetRef budget);

    /** Asks all agents to fence an incarnation. */
    void fence(int from, String incarnation);
}
