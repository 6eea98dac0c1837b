/** Retry budgets and back-off; pure decisions. */
package org.carobstage.retry;
