package org.cornelchute.entry.direct;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.net.http.OperatorPage;
import org.cornelchute.net.http.PageResponse;
import org.cornelchute.policy.forward.PlacementQuery;

/** Page of the operator port that explains where a call would be routed now. */
final class PlacementPage implements OperatorPage {

  /** Path of the page. */
  static final String PATH = "/where";

  private final CallDuty duty;
  private final ObjectMapper mapper = new ObjectMapper();

  PlacementPage(CallDuty duty) {
    this.duty = duty;
  }

  @Override
  public PageResponse respond(Map<String, List<String>> parameters) {
    Either<Failure, PlacementQuery> query =
        PlacementQueryParser.parse(parameters).flatMap(this::checkWorkspace);
    return query.isLeft()
        ? encode(HttpResponseStatus.BAD_REQUEST, Map.of("error", query.getLeft().message()))
        : encode(HttpResponseStatus.OK, duty.explain(query.get()));
  }

  private Either<Failure, PlacementQuery> checkWorkspace(PlacementQuery query) {
    return !query.workspace().isEmpty() && duty.lacksWorkspace(query.workspace())
        ? Either.left(Failure.invalid("no key belongs to workspace " + query.workspace()))
        : Either.right(query);
  }

  private PageResponse encode(HttpResponseStatus status, Object value) {
    try {
      return PageResponse.ofJson(status, mapper.writeValueAsString(value));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("page cannot be encoded as JSON", e);
    }
  }
}
