package org.cornelchute.entry.direct;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import org.cornelchute.policy.forward.CallSpec;

/** Reads what decisions depend on from the requests of callers. */
final class CallSpecReader {

  private static final String BEARER_PREFIX = "Bearer ";

  private final CallHeaderNames headerNames;

  CallSpecReader(CallHeaderNames headerNames) {
    this.headerNames = headerNames;
  }

  CallSpec read(OpenCall call) {
    HttpHeaders headers = call.request.headers();
    String uri = call.request.uri();
    int queryStart = uri.indexOf('?');
    String host = headers.get(HttpHeaderNames.HOST, "").toLowerCase(Locale.ROOT);
    int colon = host.indexOf(':');
    String authorization = headers.get(HttpHeaderNames.AUTHORIZATION, "");
    String tokenCounts = headers.get(headerNames.tokenCounts(), "");
    int comma = tokenCounts.indexOf(',');
    String promptParts = headers.get(headerNames.promptParts(), "");
    return new CallSpec(
        call.number,
        headers.get(headerNames.requestId(), ""),
        colon < 0 ? host : host.substring(0, colon),
        queryStart < 0 ? uri : uri.substring(0, queryStart),
        authorization.startsWith(BEARER_PREFIX)
            ? authorization.substring(BEARER_PREFIX.length()).strip()
            : "",
        HeaderNumber.parse(headers.get(headerNames.deadline()), Integer.MAX_VALUE),
        comma < 0 ? 0 : HeaderNumber.parse(tokenCounts.substring(0, comma), 0),
        comma < 0 ? 0 : HeaderNumber.parse(tokenCounts.substring(comma + 1), 0),
        HeaderNumber.parse(headers.get(headerNames.lengthHint()), 0),
        call.callerLastEventId,
        SharedPartsParser.parse(promptParts),
        SharedPartsParser.parseTokens(promptParts));
  }
}
