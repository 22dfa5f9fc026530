package org.ragwortrun.control.internal;

/**
 * The registration of a router's incarnation with a shard.
 *
 * @param router name of the router
 * @param incarnation its incarnation
 * @param superseded whether a newer incarnation of the same name has registered
 */
public record RouterSession(String router, String incarnation, boolean superseded) {}
