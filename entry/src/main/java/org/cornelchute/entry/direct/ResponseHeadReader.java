package org.cornelchute.entry.direct;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.AsciiString;
import org.cornelchute.core.log.LogLimiter;
import org.cornelchute.policy.forward.EndpointNotice;
import org.cornelchute.policy.forward.EndpointSpec;
import org.cornelchute.policy.forward.NamedLimit;
import org.cornelchute.policy.forward.ResponseHead;
import org.cornelchute.policy.load.EndpointLoad;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads what decisions depend on from the heads of responses, and logs headers that it cannot read;
 * these have no other effect.
 */
final class ResponseHeadReader {

  private static final Logger LOG = LoggerFactory.getLogger(ResponseHeadReader.class);
  private static final int STATUS_MISDIRECTED_REQUEST = 421;

  private final CallHeaderNames headerNames;
  private final LogLimiter noticeLog = new LogLimiter();
  private final LogLimiter loadLog = new LogLimiter();

  ResponseHeadReader(CallHeaderNames headerNames) {
    this.headerNames = headerNames;
  }

  ResponseHead read(HttpResponse head, EndpointSpec endpoint) {
    HttpHeaders headers = head.headers();
    return new ResponseHead(
        head.status().code(),
        headers.contains(headerNames.notExecuted()),
        head.status().code() == STATUS_MISDIRECTED_REQUEST,
        headers.contains(headerNames.responseSignature()),
        !HttpUtil.isContentLengthSet(head) && !HttpUtil.isTransferEncodingChunked(head),
        HeaderNumber.parse(headers.get(headerNames.weightsVersion()), 0),
        readLoad(headers, endpoint),
        NamedLimit.parse(headers.get(headerNames.endpointLimit())));
  }

  private EndpointLoad readLoad(HttpHeaders headers, EndpointSpec endpoint) {
    String text = headers.get(headerNames.endpointLoad());
    EndpointLoad load = EndpointLoad.parse(text);
    if (load.kind() == EndpointLoad.Kind.UNREADABLE) {
      loadLog.log(
          suppressed ->
              LOG.warn(
                  "unreadable load of an endpoint ignored endpoint={} load={} suppressed={}",
                  endpoint.id(),
                  text,
                  suppressed));
    }
    return load;
  }

  /** Reads what the endpoint says of itself, which holds whatever becomes of the response. */
  EndpointNotice readNotice(HttpResponse head, EndpointSpec endpoint) {
    HttpHeaders headers = head.headers();
    EndpointNotice notice =
        EndpointNotice.parse(
            head.status().code(),
            headers.getAll(headerNames.endpointLeaving()),
            headers.getAll(HttpHeaderNames.RETRY_AFTER));
    if (notice.unreadable()) {
      noticeLog.log(
          suppressed ->
              LOG.warn(
                  "unreadable header of an endpoint ignored endpoint={} leaving={} retryAfter={}"
                      + " suppressed={}",
                  endpoint.id(),
                  headers.getAll(headerNames.endpointLeaving()),
                  headers.getAll(HttpHeaderNames.RETRY_AFTER),
                  suppressed));
    }
    return notice;
  }

  /** Returns whether a success response names a type of content other than an event stream. */
  static boolean isOtherContent(HttpResponse head) {
    CharSequence type = HttpUtil.getMimeType(head);
    return head.status().codeClass() == HttpStatusClass.SUCCESS
        && type != null
        && !AsciiString.contentEqualsIgnoreCase(
            AsciiString.trim(type), HttpHeaderValues.TEXT_EVENT_STREAM);
  }
}
