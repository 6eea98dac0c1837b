package org.carobstage.account;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.carobstage.model.AccountName;

/** The client accounts of one version of the configuration. */
public final class AccountTable {
    private final Map<AccountName, ClientAccount> accounts;
    private final Map<ApiKey, ClientAccount> accountsByKey;

    private AccountTable(
            Map<AccountName, ClientAccount> accounts, Map<ApiKey, ClientAccount> accountsByKey) {
        this.accounts = accounts;
        this.accountsByKey = accountsByKey;
    }

    /**
     * Creates a table.
     *
     * @param accounts the accounts
     * @return the table
     * @throws IllegalArgumentException if two accounts have the same name or hold the same key
     */
    public static AccountTable of(Collection<ClientAccount> accounts) {
        requireNonNull(accounts, "accounts is null");
        Map<AccountName, ClientAccount> byName = new HashMap<>();
        Map<ApiKey, ClientAccount> byKey = new HashMap<>();
        for (ClientAccount account : accounts) {
            if (byName.put(account.name(), account) != null) {
                throw new IllegalArgumentException("two accounts are named " + account.name());
            }
            for (ApiKey key : account.keys()) {
                if (byKey.put(key, account) != null) {
                    throw new IllegalArgumentException(
                            "account " + account.name() + " has the key of another account");
                }
            }
        }
        return new AccountTable(Map.copyOf(byName), Map.copyOf(byKey));
    }

    /**
     * Finds the account that holds a key.
     *
     * @param key the key
     * @return the account, or empty if no account holds the key
     */
    public Optional<ClientAccount> findByKey(ApiKey key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }

    /**
     * Finds an account.
     *
     * @param name the name of the account
     * @return the account, or empty if there is none
     */
    public Optional<ClientAccount> find(AccountName name) {
        return Optional.ofNullable(accounts.get(name));
    }

    /**
     * Returns all accounts.
     *
     * @return the accounts, in no particular order
     */
    public Collection<ClientAccount> accounts() {
        return accounts.values();
    }
}
