package org.cornelchute.core.kernel;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class KernelTest {

  @Test
  void findsServicesByNameAndStopsThemInReverseOrder() {
    List<String> stopped = new ArrayList<>();
    Kernel kernel = new Kernel();
    Service first = kernel.register("first", (Service) () -> stopped.add("first"));
    kernel.register("second", (Service) () -> stopped.add("second"));
    assertThat(kernel.find("first", Service.class)).isSameAs(first);
    assertThatThrownBy(() -> kernel.find("third", Service.class))
        .isInstanceOf(IllegalStateException.class);
    kernel.close();
    assertThat(stopped).containsExactly("second", "first");
  }
}
