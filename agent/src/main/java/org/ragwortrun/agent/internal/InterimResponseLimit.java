package org.ragwortrun.agent.internal;

import java.util.Map;
import java.util.WeakHashMap;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.impl.Http1StreamListener;
import org.apache.hc.core5.io.CloseMode;

/** Closes connections on which an endpoint sends interim (1xx) responses without end. Used on the reactor thread. */
final class InterimResponseLimit implements Http1StreamListener {
    private static final int MAX_INTERIM_RESPONSES = 32;

    private final Map<HttpConnection, Integer> interimResponses = new WeakHashMap<>();

    @Override
    public void onRequestHead(HttpConnection connection, HttpRequest request) {
        interimResponses.remove(connection);
    }

    @Override
    public void onResponseHead(HttpConnection connection, HttpResponse response) {
        boolean interim = response.getCode() < HttpStatus.SC_SUCCESS;
        if (interim && interimResponses.merge(connection, 1, Integer::sum) > MAX_INTERIM_RESPONSES) {
            connection.close(CloseMode.IMMEDIATE);
        }
    }

    @Override
    public void onExchangeComplete(HttpConnection connection, boolean keepAlive) {
        interimResponses.remove(connection);
    }
}
