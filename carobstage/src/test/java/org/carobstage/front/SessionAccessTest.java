package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.carobstage.account.AccountTable;
import org.carobstage.account.ApiKey;
import org.carobstage.account.ClientAccount;
import org.carobstage.model.AccountName;
import org.carobstage.model.ServiceName;
import org.carobstage.route.Consistency;
import org.carobstage.route.Route;
import org.carobstage.route.RouteTable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SessionAccessTest {
    private static final RouteTable ACCOUNTS = table(Optional.of(accounts("paper=k1", "empty=")));
    private static final RouteTable NO_ACCOUNTS = table(Optional.empty());

    // A wrong decision lets a client in without a key, or rejects one before its key has arrived.
    @ParameterizedTest
    @CsvSource({
        "closed, k1,  0, paper",
        "closed, k2,  0, wait",
        "closed, k2,  299, wait",
        "closed, k2,  300, UNAUTHORIZED",
        "closed, '',  300, UNAUTHORIZED",
        "public, '',  0, none",
        "public, k2,  0, none",
        "public, k1,  0, paper",
        "absent, k1,  0, wait",
        "absent, k2,  300, UNKNOWN_DATABASE"
    })
    void shouldDecideByKeyAndRouteWhenAccountsAreInUse(
            String database, String key, long waitedMillis, String expected) {
        assertThat(describe(ACCOUNTS, database, key, waitedMillis)).isEqualTo(expected);
    }

    // A deployment without accounts must accept any key.
    @Test
    void shouldGrantAccessWhenAccountsAreNotInUse() {
        assertThat(describe(NO_ACCOUNTS, "closed", "k2", 0)).isEqualTo("none");
    }

    // A process without a configuration knows no key and must refuse none.
    @Test
    void shouldWaitForConfigurationAndThenReportBusy() {
        assertThat(describe(RouteTable.empty(), "closed", "k1", 1_499)).isEqualTo("wait");
        assertThat(describe(RouteTable.empty(), "closed", "k1", 1_500)).isEqualTo("BUSY");
    }

    // A session that keeps an account that its key no longer holds uses a revoked key.
    @ParameterizedTest
    @CsvSource({
        "closed, k1, paper, true",
        "closed, k1, print, false",
        "closed, k2, paper, false",
        "public, k2, paper, false",
        "public, '', '',    true",
        "closed, '', '',    false",
        "absent, k1, paper, true"
    })
    void shouldKeepSessionOnlyWhileItsKeyHoldsItsAccount(
            String database, String key, String account, boolean expected) {
        Optional<AccountName> name =
                Optional.of(account).filter(a -> !a.isEmpty()).map(AccountName::of);

        assertThat(SessionAccess.isStillGranted(ACCOUNTS, database, ApiKey.of(key), name))
                .isEqualTo(expected);
    }

    private static String describe(RouteTable table, String database, String key, long millis) {
        SessionAccess access =
                SessionAccess.decide(table, database, ApiKey.of(key), Duration.ofMillis(millis));
        if (access instanceof SessionAccess.Granted granted) {
            return granted.account().map(AccountName::value).orElse("none");
        }
        return access instanceof SessionAccess.Refused refused ? refused.code().name() : "wait";
    }

    private static AccountTable accounts(String... accounts) {
        return AccountTable.of(
                Stream.of(accounts)
                        .map(a -> a.split("=", 2))
                        .map(
                                a ->
                                        new ClientAccount(
                                                AccountName.of(a[0]),
                                                Set.of(ApiKey.of(a[1])),
                                                0,
                                                Optional.empty()))
                        .toList());
    }

    private static RouteTable table(Optional<AccountTable> accounts) {
        return new RouteTable(
                1,
                Map.of("closed", route("closed", false), "public", route("public", true)),
                Map.of(),
                Duration.ofSeconds(3),
                accounts);
    }

    private static Route route(String database, boolean publicAccess) {
        return new Route(
                database,
                ServiceName.of("forms"),
                Consistency.PRIMARY,
                Duration.ZERO,
                Duration.ofMillis(800),
                Duration.ofMillis(250),
                0,
                publicAccess);
    }
}
