/** Rate limits of client accounts that hold over all processes together. */
package org.carobstage.quota;
