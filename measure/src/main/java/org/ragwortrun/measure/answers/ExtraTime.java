package org.ragwortrun.measure.answers;

/** When an endpoint writes its extra answer. */
enum ExtraTime {
    NEVER,
    BEFORE_ANSWER,
    SAME_SEGMENT,
    WHILE_IDLE,
    WITHIN_NEXT_REQUEST,
    WITHIN_ANSWER,
    AFTER_BEGUN_ANSWER
}
