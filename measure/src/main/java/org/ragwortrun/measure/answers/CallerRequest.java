package org.ragwortrun.measure.answers;

/**
 * A request of a caller.
 *
 * @param id id of the request
 * @param kind kind of the request
 * @param method method
 * @param bodyLength length of the body, which only a POST has
 */
record CallerRequest(String id, Kind kind, String method, int bodyLength) {
    String text() {
        boolean post = method.equals("POST");
        return method + " " + kind.path() + id + " HTTP/1.1\r\nHost: " + AnswersRun.HOST + "\r\nX-Request-Id: " + id
                + "\r\n" + (post ? "Content-Length: " + bodyLength + "\r\n" : "") + "\r\n"
                + (post ? "b".repeat(bodyLength) : "");
    }
}
