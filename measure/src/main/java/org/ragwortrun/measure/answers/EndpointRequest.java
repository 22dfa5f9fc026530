package org.ragwortrun.measure.answers;

/**
 * The head of a request that an endpoint has read.
 *
 * @param method method
 * @param path target
 * @param id id of the request, or empty
 * @param bodyLength length of the body that follows
 */
record EndpointRequest(String method, String path, String id, int bodyLength) {}
