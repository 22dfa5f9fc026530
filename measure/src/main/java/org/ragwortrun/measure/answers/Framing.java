package org.ragwortrun.measure.answers;

/** How an answer delimits its body. */
enum Framing {
    LENGTH,
    CHUNKS,
    UNTIL_CLOSE
}
