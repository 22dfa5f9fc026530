package org.ragwortrun.measure.fleet;

/** Exit code and output of a command-line call. */
public record CommandResult(int exit, String output) {}
