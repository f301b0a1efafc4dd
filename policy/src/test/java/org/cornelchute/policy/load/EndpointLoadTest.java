package org.cornelchute.policy.load;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Load in responses of endpoints, which may state a speed and may be malformed. */
class EndpointLoadTest {

  @ParameterizedTest
  @CsvSource(
      delimiter = ';',
      value = {
        "3,1,12; 3; 1; 12; 0",
        "0,0,0; 0; 0; 0; 0",
        "3,1,12,100; 3; 1; 12; 1",
        " 3 , 1,\t12 , 250 ; 3; 1; 12; 2.5",
        "3,1,12,1; 3; 1; 12; 0.01",
        "3,1,12,10000; 3; 1; 12; 100",
        "3,1,12,112.5; 3; 1; 12; 1.125"
      })
  void readsThreeAndFourValues(String text, int running, int queued, int slots, double slowdown) {
    EndpointLoad load = EndpointLoad.parse(text);
    assertThat(load.isStated()).isTrue();
    assertThat(load.running()).isEqualTo(running);
    assertThat(load.queued()).isEqualTo(queued);
    assertThat(load.slots()).isEqualTo(slots);
    assertThat(load.hasSpeed()).isEqualTo(slowdown > 0);
    assertThat(load.slowdown()).isEqualTo(slowdown);
  }

  // Failure: a header that cannot be read counts as an idle endpoint, or as one of another speed.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        " ",
        "3",
        "3,1",
        "3,1,12,100,7",
        "3,1,12,100,",
        ",,,",
        "3,1,12,",
        "3,,12",
        "-3,1,12",
        "3,-1,12,100",
        "3,1,12,-100",
        "3,1,12,0",
        "3,1,12,0.0",
        "3,1,12,10001",
        "3,1,12,10000.5",
        "3,1,12,NaN",
        "3,1,12,1e2",
        "3,1,12,fast",
        "three,1,12",
        "3.5,1,12",
        "3;1;12",
        "+3,1,12",
        "0x3,1,12",
        "9999999999,1,12",
        "3,1,12,99999999999999999999999999",
        "3,1,12\n,100"
      })
  void ignoresWhatItCannotRead(String text) {
    assertThat(EndpointLoad.parse(text)).isEqualTo(EndpointLoad.UNREADABLE);
    assertThat(EndpointLoad.UNREADABLE.isStated()).isFalse();
    assertThat(EndpointLoad.UNREADABLE.hasSpeed()).isFalse();
  }

  // Failure: endpoints that send no header fill the log as ones with an unreadable header.
  @Test
  void tellsAbsentFromUnreadable() {
    assertThat(EndpointLoad.parse(null)).isEqualTo(EndpointLoad.ABSENT);
    assertThat(EndpointLoad.ABSENT.isStated()).isFalse();
  }
}
